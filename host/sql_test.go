package host_test

import (
	"database/sql"

	_ "github.com/jackc/pgx/v5/stdlib"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("database/sql", func() {
	It("works unchanged over pgx: pool, prepared statements, transactions, scans", func(ctx SpecContext) {
		site, key := startSite(ctx)
		createOrders(ctx, site, key)
		db, err := sql.Open("pgx", url(site, 1, key))
		Expect(err).NotTo(HaveOccurred())
		defer db.Close()
		insert, err := db.PrepareContext(ctx, "/*request='order.place'*/ INSERT INTO orders VALUES ($1, $2)")
		Expect(err).NotTo(HaveOccurred())
		for i := range 5 {
			_, err := insert.ExecContext(ctx, string(rune('a'+i)), i)
			Expect(err).NotTo(HaveOccurred())
		}
		tx, err := db.BeginTx(ctx, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = tx.ExecContext(ctx, "UPDATE orders SET tiles = tiles + $1", 10)
		Expect(err).NotTo(HaveOccurred())
		Expect(tx.Commit()).To(Succeed())
		rows, err := db.QueryContext(ctx, "/*request='order.read'*/ SELECT id, tiles FROM orders ORDER BY id")
		Expect(err).NotTo(HaveOccurred())
		defer rows.Close()
		got := map[string]int{}
		for rows.Next() {
			var id string
			var tiles int
			Expect(rows.Scan(&id, &tiles)).To(Succeed())
			got[id] = tiles
		}
		Expect(rows.Err()).NotTo(HaveOccurred())
		Expect(got).To(Equal(map[string]int{"a": 10, "b": 11, "c": 12, "d": 13, "e": 14}))
	}, SpecTimeout(testLimit))
})

package report

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"text/tabwriter"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"percent": percent,
	"rate":    formatRate,
	"clock":   formatClock,
}).Parse(pageText))

// WriteHTML writes the report as a self-contained HTML page.
func WriteHTML(w io.Writer, r Report) error { return page.Execute(w, r) }

// WriteJSON writes the report as JSON.
func WriteJSON(w io.Writer, r Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as a table. Promises without an objective show
// their counts only.
func WriteText(w io.Writer, r Report) error {
	fast, slow := r.Alerts()
	fmt.Fprintf(w, "Service-level burn at %s over %s: %d hosts, %d fast alerts, %d slow alerts\n\n",
		r.At.Format(time.RFC3339), r.Period, len(r.Hosts), fast, slow)
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "CUSTOMER\tPROMISE\tOBJECTIVE\tGOOD\tBAD\tBUDGET LEFT\t5m\t1h\t30m\t6h\tALERT")
	for _, c := range r.Customers {
		for _, p := range c.Promises {
			fmt.Fprintln(tw, textRow(c.Customer, p))
		}
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, h := range r.Unreached {
		fmt.Fprintf(w, "no answer: %s\n", h)
	}
	for _, h := range r.Hosts {
		for _, g := range h.Gaps {
			fmt.Fprintf(w, "gap: %s counted nothing from %s to %s\n", h.Address, formatClock(g.From), formatClock(g.To))
		}
	}
	return nil
}

func textRow(customer string, p PromiseBurn) string {
	if p.Objective == 0 {
		return fmt.Sprintf("%s\t%s\t-\t%d\t%d\t-\t-\t-\t-\t-\t", customer, p.Promise, p.Good, p.Bad)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s", customer, p.Promise, percent(p.Objective),
		p.Good, p.Bad, percent(p.BudgetLeft), formatRate(p.Fast.Short), formatRate(p.Fast.Long),
		formatRate(p.Slow.Short), formatRate(p.Slow.Long), p.Alert)
}

// percent formats a share as a percentage with up to three decimals, enough for an
// objective such as 99.999%.
func percent(share float64) string {
	return strconv.FormatFloat(math.Round(share*1e5)/1e3, 'f', -1, 64) + "%"
}

func formatRate(rate float64) string { return fmt.Sprintf("%.1f", rate) }

func formatClock(t time.Time) string { return t.UTC().Format("15:04:05Z") }

package report_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/bronzeloft/bronzeloft/report"
)

func BenchmarkRecorder(b *testing.B) {
	r := report.NewRecorder("127.0.0.1:7201", "boot", noon)
	b.Run("record", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Record(noon, "cluj", report.OK, time.Millisecond)
		}
	})
	for minute := range 360 {
		for c := range 8 {
			r.Record(noon.Add(time.Duration(minute)*time.Minute), fmt.Sprintf("customer-%d", c), report.OK, time.Millisecond)
		}
	}
	now := noon.Add(360 * time.Minute)
	b.Run("counts of 8 customers over 6 h", func(b *testing.B) {
		var data []byte
		for b.Loop() {
			data, _ = json.Marshal(r.Counts(now))
		}
		b.ReportMetric(float64(len(data)), "bytes")
	})
}

package controller

import (
	"fmt"
	"testing"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

var placers = []struct {
	name string
	lead func() manager.Placer
}{{"naive", firstFit}, {"real", adaptive}}

func (o outcome) report(b *testing.B) {
	b.Helper()
	b.ReportMetric(float64(o.urgent), "urgent-ms")
	b.ReportMetric(float64(o.done), "done")
	b.ReportMetric(float64(o.took), "took-ms")
	b.ReportMetric(float64(o.lost), "lost-ms")
	b.ReportMetric(float64(o.kills), "kills")
	b.ReportMetric(float64(o.commands), "commands")
}

// BenchmarkUrgentStart measures the start of urgent work on a full fleet, in virtual time.
func BenchmarkUrgentStart(b *testing.B) {
	for _, d := range []deployment{cathode, qirsh} {
		for _, n := range []int{50, 1_500} {
			for _, p := range placers {
				b.Run(fmt.Sprintf("%s/workers=%d/%s", d.name, n, p.name), func(b *testing.B) {
					for range b.N {
						full(b, d, n, p.lead, checkTime).collect(fullTime).report(b)
					}
				})
			}
		}
	}
}

// BenchmarkJobMix measures how jobs of right and of wrong sizes complete, in virtual time.
func BenchmarkJobMix(b *testing.B) {
	for _, d := range []deployment{cathode, qirsh} {
		for _, sizes := range []string{"right", "wrong"} {
			for seed := range uint64(3) {
				for _, p := range placers {
					b.Run(fmt.Sprintf("%s/%s/seed=%d/%s", d.name, sizes, seed, p.name), func(b *testing.B) {
						for range b.N {
							mixed(b, d, seed, p.lead, sizes == "wrong").report(b)
						}
					})
				}
			}
		}
	}
}

package meter_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mulberryhaven/mulberryhaven/internal/meter"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

func configurationOf(first, n int) *manager.FleetConfiguration {
	f := &manager.FleetConfiguration{}
	for i := range n {
		f.Customers = append(f.Customers, manager.CustomerSettings{Customer: customerName(first + n - 1 - i)})
	}
	return f
}

func customerName(i int) manager.CustomerID {
	return manager.CustomerID(fmt.Sprintf("customer-%04d", i))
}

func series() []string {
	var b bytes.Buffer
	meter.Write(&b)
	var list []string
	for line := range strings.Lines(b.String()) {
		if strings.HasPrefix(line, "mulberryhaven_customer_jobs_total") {
			list = append(list, strings.TrimSpace(line))
		}
	}
	return list
}

// Labels of every customer that ever was would grow without bound in the node and in what scrapes it.
func TestCustomersHaveABoundedNumberOfLabels(t *testing.T) {
	var c meter.Customers
	c.Use(configurationOf(0, 1000))
	for i := range 1000 {
		c.Count(customerName(i), meter.JobAccepted)
	}
	list := series()
	require.Len(t, list, 33)
	require.Contains(t, list, `mulberryhaven_customer_jobs_total{customer="customer-0031",event="accepted"} 1`)
	require.Contains(t, list, `mulberryhaven_customer_jobs_total{customer="other",event="accepted"} 968`)
	for first := range 40 {
		c.Use(configurationOf(first*10, 1000))
		for i := range 1000 {
			c.Count(customerName(first*10+i), meter.JobLate)
		}
		require.LessOrEqual(t, len(series()), 2*33)
	}
	require.NotContains(t, strings.Join(series(), "\n"), "customer-0000")
	c.Use(nil)
	require.Len(t, series(), 2)
}

func BenchmarkCountJobOfCustomer(b *testing.B) {
	var c meter.Customers
	c.Use(configurationOf(0, 1000))
	names := make([]manager.CustomerID, 1000)
	for i := range names {
		names[i] = customerName(i)
	}
	b.ReportAllocs()
	for i := range b.N {
		c.Count(names[i%len(names)], meter.JobAccepted)
	}
}

func BenchmarkUseConfigurationOfCustomers(b *testing.B) {
	var c meter.Customers
	list := []*manager.FleetConfiguration{configurationOf(0, 1000), configurationOf(0, 1000)}
	b.ReportAllocs()
	for i := range b.N {
		c.Use(list[i%2])
	}
}

package linter

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Severity is how grave a finding is.
type Severity string

// The severities. A node refuses a configuration with an error, or does not put it in force.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is an error or a likely mistake in a configuration.
type Finding struct {
	Severity Severity
	// Path is the field, named as those of manager.FleetConfiguration.
	Path   string
	Reason string
}

// findings collects findings.
type findings []Finding

func (l *findings) warn(path, reason string, args ...any) {
	*l = append(*l, Finding{Severity: Warning, Path: path, Reason: fmt.Sprintf(reason, args...)})
}

// Check returns all errors of a configuration, which are those of its Validate, and then its likely mistakes.
func Check(c *manager.FleetConfiguration) []Finding {
	var l findings
	for e := range c.Errors() {
		l = append(l, Finding{Severity: Error, Path: e.Field, Reason: e.Reason})
	}
	l.checkNames(c)
	for i, q := range c.Queues {
		path := fmt.Sprintf("Queues[%d]", i)
		l.checkHost(path+".Host", q.Host)
		l.checkPrefix(path+".Prefix", q.Prefix)
		l.checkLimits(path, q)
		l.checkAdvice(path+".Advice", q.Advice)
		if isStandby(c, q.Pool) {
			l.warn(path+".Pool", "pool %q is on standby: its VMs are switched off, so no job of the queue runs", q.Pool)
		}
	}
	l.checkCustomers(c)
	return l
}

func isStandby(c *manager.FleetConfiguration, id manager.PoolID) bool {
	for _, p := range c.Pools {
		if p.Pool == id {
			return p.Standby
		}
	}
	return false
}

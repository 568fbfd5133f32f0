package linter

import (
	"fmt"
	"strings"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// checkNames warns of names that differ in case only: a route to one of the pools is easily given the other.
func (l *findings) checkNames(c *manager.FleetConfiguration) {
	pools, queues, customers := newNames(l), newNames(l), newNames(l)
	for i, p := range c.Pools {
		pools.add(fmt.Sprintf("Pools[%d].Pool", i), string(p.Pool))
	}
	for i, q := range c.Queues {
		queues.add(fmt.Sprintf("Queues[%d].Queue", i), string(q.Queue))
	}
	for i, s := range c.Customers {
		customers.add(fmt.Sprintf("Customers[%d].Customer", i), string(s.Customer))
	}
}

// names holds the names of one kind of entry, by their lower case.
type names struct {
	findings *findings
	seen     map[string]string
}

func newNames(l *findings) names { return names{findings: l, seen: map[string]string{}} }

func (n names) add(path, name string) {
	lower := strings.ToLower(name)
	other, ok := n.seen[lower]
	if ok && other != name {
		n.findings.warn(path, "%q differs from %q in case only", name, other)
	}
	if !ok {
		n.seen[lower] = name
	}
}

// hostBytes are the characters that the HTTP server accepts in a Host header; it answers a request with others by 400 before
// the node sees it.
const hostBytes = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ!$%&()*+,-.:;='[]_~"

// checkHost warns of hosts that no request, or hardly any, is sent to. The node compares hosts byte by byte.
func (l *findings) checkHost(path, host string) {
	other := strings.IndexFunc(host, func(r rune) bool { return !strings.ContainsRune(hostBytes, r) })
	switch {
	case host == "":
		l.warn(path, "is empty: only requests without a host match")
	case other >= 0:
		l.warn(path, "%q can't match: no Host header has the character %q", host, []rune(host[other:])[0])
	case strings.ToLower(host) != host:
		l.warn(path, "%q has upper-case letters: requests whose Host header is in lower case don't match", host)
	case hasPort(host):
		l.warn(path, "%q has a port: requests whose Host header has none don't match", host)
	}
}

// hasPort reports whether a host ends with a port. The colons of an IPv6 address are within brackets.
func hasPort(host string) bool {
	return strings.LastIndexByte(host, ':') > strings.LastIndexByte(host, ']')
}

// checkPrefix warns of prefixes that are written as in a URL, because the node compares them with the decoded path. No prefix
// is hidden by longer ones: the longest that fits is chosen, and only an equal one, which is an error, fits wherever it does.
func (l *findings) checkPrefix(path, prefix string) {
	if strings.ContainsAny(prefix, "?#") {
		l.warn(path, "%q has a ? or #, which ends the path of a URL: only requests that escape it match", prefix)
	}
	for i := 0; i+2 < len(prefix); i++ {
		if prefix[i] == '%' && isHex(prefix[i+1]) && isHex(prefix[i+2]) {
			l.warn(path, "%q has the escape %q: it is compared with the decoded path", prefix, prefix[i:i+3])
			return
		}
	}
}

func isHex(b byte) bool { return strings.IndexByte("0123456789abcdefABCDEF", b) >= 0 }

// checkLimits warns of limits of a queue that contradict each other.
func (l *findings) checkLimits(path string, q manager.QueueSettings) {
	if q.MaxAttempts <= 0 {
		l.warn(path+".MaxAttempts", "is %d: the node treats it as 1", q.MaxAttempts)
	}
	if q.SlackMs == 0 && q.Stretch >= 0 && q.Stretch < 1 {
		l.warn(path+".Stretch", "is %g with a constant part of 0: the objective is shorter than the critical path of any job, so none is in time", q.Stretch)
	}
}

// checkAdvice warns of settings under which no permit can be used.
func (l *findings) checkAdvice(path string, a manager.AdviceSettings) {
	switch {
	case a.ValidMs == 0 && (a.DecisionMs != 0 || a.PerWorkerMs != 0):
		l.warn(path+".ValidMs", "is 0: the advisor is never asked")
	case a.ValidMs > 0 && a.DecisionMs > a.ValidMs:
		l.warn(path+".DecisionMs", "is %d, longer than a permit is valid (%d): permits expire before the next decision", a.DecisionMs, a.ValidMs)
	}
}

package configurer

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/applier"
)

// replicaCounts are the sizes that a replica group may have.
var replicaCounts = []int{1, 3, 5, 7}

// Validate returns the first field that breaks a rule.
func (s Settings) Validate() error {
	checks := []func() error{
		s.validateProcess, s.validateTokens, s.validateGateway, s.validateController, s.validateTrace,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func invalid(field, format string, args ...any) error {
	return manager.ErrInvalid{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func (s Settings) validateProcess() error {
	if s.Node == "" {
		return invalid("Node", "is missing: expected the name of this VM")
	}
	if s.AvailabilityZone == "" {
		return invalid("AvailabilityZone", "is missing: expected the availability zone of this VM")
	}
	if len(s.Services) == 0 {
		return invalid("Services", "is empty: expected %q, %q or both", ServiceGateway, ServiceController)
	}
	for i, name := range s.Services {
		if name != ServiceGateway && name != ServiceController {
			return invalid(fmt.Sprintf("Services[%d]", i), "is %q: expected %q or %q", name, ServiceGateway, ServiceController)
		}
		if slices.Contains(s.Services[:i], name) {
			return invalid(fmt.Sprintf("Services[%d]", i), "names %q twice", name)
		}
	}
	if len(s.Controllers) == 0 {
		return invalid("Controllers", "is empty: expected the address of at least one controller")
	}
	return validateAddresses("Controllers", s.Controllers)
}

func (s Settings) validateTokens() error {
	if s.Tokens.Operator == "" {
		return invalid("Tokens.Operator", "is missing: expected the operators' bearer token")
	}
	if s.Tokens.Peer == "" {
		return invalid("Tokens.Peer", "is missing: expected the bearer token between the system's processes")
	}
	if s.Tokens.Peer == s.Tokens.Operator {
		return invalid("Tokens.Peer", "equals Tokens.Operator: expected two different tokens")
	}
	return nil
}

func (s Settings) validateGateway() error {
	wanted := slices.Contains(s.Services, ServiceGateway)
	g := s.Gateway
	switch {
	case !wanted && g != nil:
		return invalid("Gateway", "is set but Services does not name %q", ServiceGateway)
	case !wanted:
		return nil
	case g == nil:
		return invalid("Gateway", "is missing: Services names %q", ServiceGateway)
	case g.DefaultDeadlineMs < 0:
		return invalid("Gateway.DefaultDeadlineMs", "is negative: expected milliseconds")
	case g.MaxBodyBytes < 0:
		return invalid("Gateway.MaxBodyBytes", "is negative: expected bytes")
	}
	if err := validateAddress("Gateway.Address", g.Address); err != nil {
		return err
	}
	if err := validateTLS("Gateway.TLS", g.TLS); err != nil {
		return err
	}
	return s.validatePeers()
}

func (s Settings) validatePeers() error {
	seen := map[manager.GatewayID]bool{manager.GatewayID(s.Node): true}
	for i, p := range s.Gateway.Peers {
		field := fmt.Sprintf("Gateway.Peers[%d]", i)
		if p.Gateway == "" || seen[p.Gateway] {
			return invalid(field+".Gateway", "is %q: expected the Node of another gateway, named once", p.Gateway)
		}
		seen[p.Gateway] = true
		if err := validateAddress(field+".Address", p.Address); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) validateController() error {
	wanted := slices.Contains(s.Services, ServiceController)
	c := s.Controller
	switch {
	case !wanted && c != nil:
		return invalid("Controller", "is set but Services does not name %q", ServiceController)
	case !wanted:
		return nil
	case c == nil:
		return invalid("Controller", "is missing: Services names %q", ServiceController)
	case c.DataFolder == "":
		return invalid("Controller.DataFolder", "is missing: expected a folder on a disk of this VM")
	}
	if err := c.Platform.validate(); err != nil {
		return err
	}
	if err := validateAddress("Controller.Address", c.Address); err != nil {
		return err
	}
	if err := validateTLS("Controller.TLS", c.TLS); err != nil {
		return err
	}
	if err := c.validateReplicas(); err != nil {
		return err
	}
	if r := applier.New().Apply(manager.Command{LoadFleet: &c.Fleet}); r.Failure != nil {
		return invalid("Controller.Fleet."+r.Failure.Field, "%s", r.Failure.Reason)
	}
	return nil
}

func (p Platform) validate() error {
	switch p.Kind {
	case PlatformFake, PlatformNone:
		if p.Address != "" || p.Token != "" {
			return invalid("Controller.Platform", "has Address or Token: expected them only with Kind %q", PlatformHTTP)
		}
		return nil
	case PlatformHTTP:
		if p.Token == "" {
			return invalid("Controller.Platform.Token", "is missing: expected the platform's bearer token")
		}
		return validateAddress("Controller.Platform.Address", p.Address)
	default:
		return invalid("Controller.Platform.Kind", "is %q: expected %q, %q or %q", p.Kind, PlatformHTTP, PlatformFake, PlatformNone)
	}
}

func (c Controller) validateReplicas() error {
	if !slices.Contains(replicaCounts, len(c.Replicas)) {
		return invalid("Controller.Replicas", "has %d members: expected 1, 3, 5 or 7", len(c.Replicas))
	}
	seen := map[manager.ReplicaID]bool{}
	for i, r := range c.Replicas {
		field := fmt.Sprintf("Controller.Replicas[%d]", i)
		if r.Replica == 0 || seen[r.Replica] {
			return invalid(field+".Replica", "is %d: expected a number above 0 that no other replica has", r.Replica)
		}
		seen[r.Replica] = true
		if err := validateAddress(field+".Address", r.Address); err != nil {
			return err
		}
	}
	if !seen[c.Replica] {
		return invalid("Controller.Replica", "is %d: expected one of Controller.Replicas", c.Replica)
	}
	return nil
}

func (s Settings) validateTrace() error {
	switch s.Trace.Exporter {
	case TraceNone:
		return nil
	case TraceFile:
		if s.Trace.File == "" {
			return invalid("Trace.File", `is missing: expected a file for the exporter "file"`)
		}
		return nil
	case TraceOTLP:
		if u, err := url.Parse(s.Trace.Endpoint); err != nil || u.Host == "" {
			return invalid("Trace.Endpoint", `is %q: expected a URL for the exporter "otlp"`, s.Trace.Endpoint)
		}
		return nil
	default:
		return invalid("Trace.Exporter", "is %q: expected %q, %q or %q", s.Trace.Exporter, TraceNone, TraceFile, TraceOTLP)
	}
}

func validateAddresses(field string, list []manager.Address) error {
	for i, a := range list {
		if err := validateAddress(fmt.Sprintf("%s[%d]", field, i), a); err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(field string, a manager.Address) error {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		return invalid(field, "is %q: expected an IP address and port", a)
	}
	return nil
}

func validateTLS(field string, t *TLS) error {
	if t == nil {
		return nil
	}
	if t.CertificateFile == "" || t.KeyFile == "" {
		return invalid(field, "needs CertificateFile and KeyFile")
	}
	return nil
}

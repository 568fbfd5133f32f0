package configurer

import "github.com/mulberryhaven/mulberryhaven/pkg/manager"

// Names of the services that a process may run.
const (
	ServiceController = "controller"
	ServiceGateway    = "gateway"
)

// Settings are the settings of one process; configs/README.md explains each field.
type Settings struct {
	// Node names this VM in logs, traces and gossip.
	Node string
	// AvailabilityZone is where this VM runs.
	AvailabilityZone manager.AvailabilityZone
	// Services names what this process runs: "gateway", "controller" or both.
	Services []string
	// Tokens guard the endpoints that are not for callers.
	Tokens Tokens
	// Gateway is needed by the service "gateway".
	Gateway *Gateway `json:",omitempty"`
	// Controller is needed by the service "controller".
	Controller *Controller `json:",omitempty"`
	// Controllers are the addresses of all controllers.
	Controllers []manager.Address
	Log         Log   `json:",omitzero"`
	Trace       Trace `json:",omitzero"`
	Stop        Stop  `json:",omitzero"`
}

// Tokens are bearer tokens.
type Tokens struct {
	// Operator guards /api.
	Operator string
	// Peer guards the endpoints between the system's own processes.
	Peer string
}

// Gateway are the settings of a gateway.
type Gateway struct {
	Address manager.Address
	// Peers are the other gateways; all gateways must name the same set, or they share no slots.
	Peers []Peer
	TLS   *TLS `json:",omitempty"`
	// DefaultDeadlineMs is the deadline of a request that names none.
	DefaultDeadlineMs manager.Duration `json:",omitempty"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `json:",omitempty"`
}

// Peer is another gateway.
type Peer struct {
	// Gateway is the Node of its settings.
	Gateway manager.GatewayID
	Address manager.Address
}

// Controller are the settings of a controller.
type Controller struct {
	Address manager.Address
	Replica manager.ReplicaID
	// Replicas are the members of the replica group when it is first started.
	Replicas []Replica
	// DataFolder holds the durable state of this replica.
	DataFolder string
	TLS        *TLS `json:",omitempty"`
	// Fleet is loaded into an empty state.
	Fleet manager.LoadFleet `json:",omitzero"`
	// Platform is how VMs and workers are reached.
	Platform Platform
}

// Replica is a member of the replica group.
type Replica struct {
	Replica          manager.ReplicaID
	Address          manager.Address
	AvailabilityZone manager.AvailabilityZone
}

// Kinds of platforms.
const (
	// PlatformFake is the stand-in that runs inside the controller.
	PlatformFake = "fake"
	// PlatformHTTP is a platform with the endpoints of docs/API.md.
	PlatformHTTP = "http"
	// PlatformNone leaves VMs and workers alone.
	PlatformNone = "none"
)

// Platform are the settings of the platform's adapter.
type Platform struct {
	Kind string
	// Address and Token reach a platform of the kind "http".
	Address manager.Address `json:",omitempty"`
	Token   string          `json:",omitempty"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	CertificateFile string
	KeyFile         string
	// AuthorityFile is the authority that signs the other processes' certificates.
	AuthorityFile string `json:",omitempty"`
}

// Log are the settings of the log.
type Log struct {
	// Verbosity is klog's level: 0 for events, 2 for each decision, 4 for each message.
	Verbosity int `json:",omitempty"`
}

// Exporters of traces.
const (
	TraceNone = "none"
	TraceFile = "file"
	TraceOTLP = "otlp"
)

// Trace are the settings of the traces.
type Trace struct {
	// Exporter is "none", "file" or "otlp".
	Exporter string `json:",omitempty"`
	// File takes JSON lines with the exporter "file".
	File string `json:",omitempty"`
	// Endpoint is the collector's URL with the exporter "otlp".
	Endpoint string `json:",omitempty"`
}

// Stop are the settings of a planned stop.
type Stop struct {
	// ReadyDelayMs is how long the process serves on after /readyz began to fail.
	ReadyDelayMs manager.Duration `json:",omitempty"`
	// GraceMs bounds the wait for work in flight.
	GraceMs manager.Duration `json:",omitempty"`
}

// Defaults of settings that may be left out.
const (
	// DefaultDeadline is the deadline of a request that names none.
	DefaultDeadline = 10 * manager.Second
	// DefaultMaxBody bounds a request's body in bytes; each request in flight may hold this much.
	DefaultMaxBody = 1 << 20
	// DefaultReadyDelay must exceed the balancer's probe period, or it sends work to a closed listener.
	DefaultReadyDelay = 3 * manager.Second
	// DefaultGrace must exceed the longest deadline, or a planned stop cuts requests.
	DefaultGrace = 60 * manager.Second
)

// fillDefaults sets what the file left out.
func (s *Settings) fillDefaults() {
	if s.Gateway != nil {
		setDefault(&s.Gateway.DefaultDeadlineMs, DefaultDeadline)
		setDefault(&s.Gateway.MaxBodyBytes, DefaultMaxBody)
	}
	setDefault(&s.Trace.Exporter, TraceNone)
	setDefault(&s.Stop.ReadyDelayMs, DefaultReadyDelay)
	setDefault(&s.Stop.GraceMs, DefaultGrace)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

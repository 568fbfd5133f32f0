package supervisor

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// Service is a part of a process that the supervisor starts and stops.
type Service interface {
	// Name is unique in the process.
	Name() string
	// Needs names the services that must run before this one starts.
	Needs() []string
	// Start returns once the service serves.
	Start(r *Registry) error
	// Stop ends the service; work that is still in flight when stop ends is cut and named in the error.
	Stop(stop <-chan struct{}) error
}

// StopPreparer is a service that must be told of a planned stop before anything ends.
type StopPreparer interface {
	// PrepareStop makes the service turn new work away while it still finishes what it has.
	PrepareStop()
}

// Registry holds the services of a process by name.
type Registry struct {
	services map[string]Service
}

// Find returns the service with a name as the type that the caller needs.
func Find[T any](r *Registry, name string) (T, error) {
	var none T
	s, ok := r.services[name]
	if !ok {
		return none, manager.ErrNotExist{Kind: "service", Name: name}
	}
	t, ok := s.(T)
	if !ok {
		return none, fmt.Errorf("service %q is a %T: %w", name, s, manager.ErrConflict{Kind: "service", Name: name, Reason: "has another type"})
	}
	return t, nil
}

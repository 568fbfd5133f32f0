package applier

import (
	"fmt"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// applyBatch applies the commands in order; each is checked against the state that the previous ones left.
func (s *State) applyBatch(b manager.Batch) (manager.Result, *manager.Failure) {
	if len(b.Commands) > manager.MaxBatch {
		return manager.Result{}, invalid("Batch", fmt.Sprintf("has more than %d commands", manager.MaxBatch))
	}
	var result manager.Result
	for i, c := range b.Commands {
		if f := s.applyBatchItem(c); f != nil {
			if f.Field != "" {
				f.Field = fmt.Sprintf("Batch[%d].%s", i, f.Field)
			}
			result.Refused = append(result.Refused, *f)
		}
	}
	return result, nil
}

func (s *State) applyBatchItem(c manager.Command) *manager.Failure {
	if c.Batch != nil || c.Command != "" {
		return invalid("Command", "must have no id and must not be a batch inside a batch")
	}
	_, f := s.applyBody(c)
	return f
}

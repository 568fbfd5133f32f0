package replicator_test

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/anishathalye/porcupine"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
	"github.com/mulberryhaven/mulberryhaven/pkg/manager/replicator"
)

type input struct {
	read    bool
	command command
}

type output struct {
	ok    bool
	value int
}

// operation is one request of an operator.
type operation struct {
	input  input
	term   manager.Term
	call   int
	ret    int
	output output
	// index is the log position at which the operation took effect.
	index manager.Index
	// completed says that the outcome is known; failed operations never took effect.
	completed bool
	failed    bool
}

// complete ends an operation with its outcome.
func (s *sim) complete(o *operation, at manager.Index, out output) {
	s.sequence++
	o.ret, o.index, o.output, o.completed = s.sequence, at, out, true
}

func (o *operation) markFailed() { o.failed = true }

// history is the list of all operations.
type history struct {
	operations []*operation
}

// firstApply is when any node first applied an operation, and with which outcome.
type firstApply struct {
	sequence int
	index    manager.Index
	output   output
}

// propose tries a compare-and-set at any node that accepts it as leader; every operation sets a different
// value.
func (s *sim) propose(n *simNode, expected int) {
	if n.atLimit() {
		return
	}
	s.sequence++
	op := len(s.history.operations) + 1
	o := &operation{input: input{command: command{Op: op, Expected: expected, Value: op}}, call: s.sequence}
	data, _ := json.Marshal(o.input.command)
	index, term, err := n.replica.Propose(data)
	if err != nil {
		return
	}
	o.term = term
	n.proposals[index] = o
	s.history.operations = append(s.history.operations, o)
}

func (s *sim) read(n *simNode, timing replicator.ReadTiming) {
	s.nextRead++
	if n.atLimit() {
		return
	}
	if n.replica.ReadIndex(s.nextRead, timing) != nil {
		return
	}
	s.sequence++
	o := &operation{input: input{read: true}, call: s.sequence}
	n.reads[s.nextRead] = o
	s.history.operations = append(s.history.operations, o)
}

// porcupineLimit limits the operations that porcupine checks; its search is exponential in the worst case.
const porcupineLimit = 60

// outstandingLimit limits the pending operations at one node, and with them the search.
const outstandingLimit = 5

func (n *simNode) atLimit() bool { return len(n.proposals)+len(n.reads) >= outstandingLimit }

// linearizable checks the history. An operation without an answer took effect before any node first applied
// it, or never if it was not applied by the time all faults had ended.
func (s *sim) linearizable() error {
	var known []*operation
	for _, o := range s.history.operations {
		if o.failed || !o.completed && o.input.read {
			continue
		}
		if !o.completed {
			first, ok := s.firstApplied[o.input.command.Op]
			if !ok {
				continue
			}
			o.ret, o.index, o.output = first.sequence, first.index, first.output
		}
		known = append(known, o)
	}
	if err := inLogOrder(known); err != nil {
		return err
	}
	if !prefixLinearizable(known) {
		return errors.New("the history is not linearizable")
	}
	return nil
}

// inLogOrder checks the whole history with the log as its witness: an operation that ended before another
// began must not have a later place in the log.
func inLogOrder(list []*operation) error {
	byCall, byReturn := slices.Clone(list), slices.Clone(list)
	slices.SortFunc(byCall, func(a, b *operation) int { return cmp.Compare(a.call, b.call) })
	slices.SortFunc(byReturn, func(a, b *operation) int { return cmp.Compare(a.ret, b.ret) })
	var highest manager.Index
	for _, o := range byCall {
		for len(byReturn) > 0 && byReturn[0].ret <= o.call {
			highest = max(highest, byReturn[0].index)
			byReturn = byReturn[1:]
		}
		if o.index < highest {
			return fmt.Errorf("%+v took effect at %d, after %d had ended before it was called", *o, o.index, highest)
		}
	}
	return nil
}

// prefixLinearizable checks the beginning of the history without the log as its witness.
func prefixLinearizable(list []*operation) bool {
	slices.SortFunc(list, func(a, b *operation) int { return cmp.Compare(a.index, b.index) })
	var ops []porcupine.Operation
	for i, o := range list {
		if i >= porcupineLimit && o.index > list[i-1].index {
			break
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: o.input, Call: int64(o.call), Output: o.output, Return: int64(o.ret)})
	}
	return porcupine.CheckOperations(registerModel, ops)
}

var registerModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, in, out any) (bool, any) {
		v, i, o := state.(int), in.(input), out.(output)
		if i.read {
			return o.value == v, v
		}
		applies := i.command.Expected == v
		if applies {
			v = i.command.Value
		}
		return o.ok == applies && o.value == v, v
	},
}

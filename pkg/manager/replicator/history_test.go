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

// operation is one call of an operator.
type operation struct {
	input  input
	term   manager.Term
	call   int
	ret    int
	output output
	// index is the log position at which the operation took effect.
	index manager.Index
	// ended says that the outcome, which may be unknown, counts; failed ones never took effect.
	ended bool
	void  bool
}

// done ends an operation with its outcome.
func (s *sim) done(o *operation, at manager.Index, out output) {
	s.stamp++
	o.ret, o.index, o.output, o.ended = s.stamp, at, out, true
}

func (o *operation) failed() { o.void = true }

// history is what the operators saw.
type history struct {
	operations []*operation
}

// firstApply is when an operation was first applied by any node, and with which outcome.
type firstApply struct {
	stamp  int
	index  manager.Index
	output output
}

// propose lets an operator try a compare-and-set at whatever node believes to lead; every operation
// brings another value.
func (s *sim) propose(n *simNode, expected int) {
	if n.busy() {
		return
	}
	s.stamp++
	op := len(s.history.operations) + 1
	o := &operation{input: input{command: command{Op: op, Expected: expected, Value: op}}, call: s.stamp}
	data, _ := json.Marshal(o.input.command)
	index, term, err := n.replica.Propose(data)
	if err != nil {
		return
	}
	o.term = term
	n.proposals[index] = o
	s.history.operations = append(s.history.operations, o)
}

func (s *sim) read(n *simNode, u replicator.ReadTiming) {
	s.nextRead++
	if n.busy() {
		return
	}
	if n.replica.ReadIndex(s.nextRead, u) != nil {
		return
	}
	s.stamp++
	o := &operation{input: input{read: true}, call: s.stamp}
	n.reads[s.nextRead] = o
	s.history.operations = append(s.history.operations, o)
}

// porcupineLimit bounds the history that is searched; the search is exponential in the worst case.
const porcupineLimit = 60

// outstandingLimit bounds the calls that wait at one node, and with them the search.
const outstandingLimit = 5

func (n *simNode) busy() bool { return len(n.proposals)+len(n.reads) >= outstandingLimit }

// linearizable checks the history. A call without an answer took effect before it was first
// applied anywhere, or never if it was not applied once all faults had ended.
func (s *sim) linearizable() error {
	var known []*operation
	for _, o := range s.history.operations {
		if o.void || !o.ended && o.input.read {
			continue
		}
		if !o.ended {
			first, ok := s.firstApplied[o.input.command.Op]
			if !ok {
				continue
			}
			o.ret, o.index, o.output = first.stamp, first.index, first.output
		}
		known = append(known, o)
	}
	if err := inLogOrder(known); err != nil {
		return err
	}
	if !searchable(known) {
		return errors.New("the history is not linearizable")
	}
	return nil
}

// inLogOrder checks the whole history against the log as its witness: what ended before another
// began has no later place in the log.
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

// searchable checks the beginning of the history without the log's help.
func searchable(list []*operation) bool {
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

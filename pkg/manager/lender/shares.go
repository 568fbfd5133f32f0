package lender

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxCachedRanks bounds the cache of rankings. The cache is cleared when it is full, so with more
// addresses rankings are computed again and again.
const maxCachedRanks = 8192

// Assignment is the way in which the slots of an upstream are divided between the shards.
type Assignment int

// Assignments of slots to shards.
const (
	// AssignSpread gives each shard an equal number of slots, and the remainder to the highest-ranked
	// shards.
	AssignSpread Assignment = iota
	// AssignWhole gives all slots of an upstream to the highest-ranked shard.
	AssignWhole
)

// shares computes the home of each slot. The result depends only on the assignment, the set of gateways
// and the upstream's address and slots, so that all gateways agree on it.
type shares struct {
	gateways   []manager.GatewayID
	assignment Assignment
	ranks      map[string]map[manager.GatewayID]int
}

func newShares(gateways []manager.GatewayID, assignment Assignment) *shares {
	sorted := slices.Clone(gateways)
	slices.Sort(sorted)
	return &shares{
		gateways: slices.Compact(sorted), assignment: assignment,
		ranks: map[string]map[manager.GatewayID]int{},
	}
}

// digest returns a hash of the set of gateways and the assignment.
func (s *shares) digest() manager.SetDigest {
	h := xxhash.New()
	for _, g := range s.gateways {
		_, _ = h.WriteString(string(g) + "\n")
	}
	_, _ = h.Write([]byte{byte(s.assignment)})
	return manager.SetDigest(h.Sum64())
}

func weight(key string, gateway manager.GatewayID) uint64 {
	return xxhash.Sum64String(key + "|" + string(gateway))
}

// ranking returns the gateways ordered by their rendezvous weight for key, highest first.
func (s *shares) ranking(key string) []manager.GatewayID {
	list := slices.Clone(s.gateways)
	slices.SortFunc(list, func(a, b manager.GatewayID) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return list
}

func (s *shares) rank(key string, gateway manager.GatewayID) int {
	ranks, ok := s.ranks[key]
	if !ok {
		if len(s.ranks) >= maxCachedRanks {
			clear(s.ranks)
		}
		ranks = make(map[manager.GatewayID]int, len(s.gateways))
		for i, g := range s.ranking(key) {
			ranks[g] = i
		}
		s.ranks[key] = ranks
	}
	return ranks[gateway]
}

// slots returns how many slots of m belong to a shard.
func (s *shares) slots(shard manager.GatewayID, m manager.Member) int {
	total := capacity(m)
	if s.assignment == AssignWhole {
		if s.rank(string(m.Address), shard) == 0 {
			return total
		}
		return 0
	}
	n := len(s.gateways)
	share := total / n
	if s.rank(string(m.Address), shard) < total%n {
		share++
	}
	return share
}

// capacity returns how many requests may run at m concurrently. Each needs a connection of its own.
func capacity(m manager.Member) int { return min(int(m.Slots), int(m.Connections)) }

// startSeed derives the random seed of a gateway's start.
func startSeed(start manager.StartID, self manager.GatewayID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(start))
	return xxhash.Sum64(append(b[:], self...))
}

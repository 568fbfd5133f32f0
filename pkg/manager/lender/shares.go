package lender

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/mulberryhaven/mulberryhaven/pkg/manager"
)

// maxCachedRanks bounds the cache of rankings; at more addresses each look-up hashes anew.
const maxCachedRanks = 8192

// Assignment says how the slots of one upstream are divided between the shards.
type Assignment int

// Assignments of slots to shards.
const (
	// AssignSpread gives each shard an equal number, and what is left to those that rank first.
	AssignSpread Assignment = iota
	// AssignWhole gives all slots of an upstream to the shard that ranks first.
	AssignWhole
)

// shares computes the home of each slot; it depends on the set of gateways and the address alone.
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

// digest names the set of gateways.
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

// order returns the gateways by their rendezvous weight for key, heaviest first.
func (s *shares) order(key string) []manager.GatewayID {
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
		for i, g := range s.order(key) {
			ranks[g] = i
		}
		s.ranks[key] = ranks
	}
	return ranks[gateway]
}

// of returns how many slots of m have their home in a shard.
func (s *shares) of(shard manager.GatewayID, m manager.Member) int {
	slots := limit(m)
	if s.assignment == AssignWhole {
		if s.rank(string(m.Address), shard) == 0 {
			return slots
		}
		return 0
	}
	n := len(s.gateways)
	share := slots / n
	if s.rank(string(m.Address), shard) < slots%n {
		share++
	}
	return share
}

// limit returns the requests that may run at m at once; each needs a connection of its own.
func limit(m manager.Member) int { return min(int(m.Slots), int(m.Connections)) }

// startSeed mixes a start's id into the seed of its random choices.
func startSeed(start manager.StartID, self manager.GatewayID) uint64 {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(start))
	return xxhash.Sum64(append(b[:], self...))
}

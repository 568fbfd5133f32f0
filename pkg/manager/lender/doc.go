// Package lender shares the slots of upstreams between gateways with no shared view. Each slot has a
// home gateway by rendezvous hashing. The slots of a home are a shard, and a majority of the gateways
// leases each shard to one holder, normally its home; holders lend idle slots to each other. A slot
// is only used until a time that the lease covers, so that the next holder never overlaps.
package lender

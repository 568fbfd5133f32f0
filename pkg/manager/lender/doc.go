// Package lender divides the concurrency slots of upstreams between gateways without central
// coordination. Rendezvous hashing assigns each slot to a home gateway. The slots of one home form a
// shard, and a majority of the gateways leases each shard to one holder, normally its home. Holders
// lend idle slots to each other. A slot is only used while its lease is valid, so that two holders
// never use it at the same time.
package lender

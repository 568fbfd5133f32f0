// Package registrar maintains the membership of upstreams from their announcements and from gossip
// between gateways. Entries carry their age instead of a time, so that the clocks of two hosts are
// never compared.
package registrar

// Package dispatcher decides, on the one replica that leads, which submits are taken, which worker
// runs which task and when a VM has its upkeep. It drives the recorder's book by proposed changes.
package dispatcher

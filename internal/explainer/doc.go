// Package explainer finds, in the logs of several processes, the way of a request, a VM or a
// configuration version and the likely cause of its fate.
package explainer

// Package supervisor is the micro-kernel: it starts named services in the order of their needs,
// lets them find each other by name and stops them in reverse.
package supervisor

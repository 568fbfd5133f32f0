// Package rebalancer decides which VMs change pool and how much reserve each pool holds.
package rebalancer

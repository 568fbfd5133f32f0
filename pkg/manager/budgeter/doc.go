// Package budgeter counts the VMs that are out of service and decides which others may be draining out of service
// under the availability budgets of pools, services, availability zones and racks.
package budgeter

// Package budgeter counts the VMs that do not serve and says which may still be taken out of service
// under the availability budgets of pools, services, availability zones and racks.
package budgeter

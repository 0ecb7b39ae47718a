// Package ledger replicates the records that must survive the loss of a VM: the tokens that programs reserved and
// used of their budgets, stored turns, and the software versions at which streams began. Entry VMs write each record
// to all replicas; it counts as written once a write quorum has synced it to disk.
package ledger

// Package ledger keeps what must outlive a VM: what programs reserved and used of their budgets, and kept turns.
// Entry VMs write each record to all copies; it counts once a write quorum has synced it.
package ledger

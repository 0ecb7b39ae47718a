// Package member finds out which VMs are live and spreads small items by gossip.
package member

// Package checkpoint keeps at storage VMs what entry VMs have used of customers' rates, so that a start of all processes does not
// admit it again within the same window.
package checkpoint

// Package role assembles the processes of entry and storage VMs.
package role

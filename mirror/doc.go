// Package mirror keeps copies of the platform's objects on a VM, with the help of other VMs while the platform turns it away.
package mirror

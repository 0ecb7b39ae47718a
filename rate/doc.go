// Package rate holds customers to their rates over all VMs by counts that the VMs tell each other.
package rate

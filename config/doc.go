// Package config holds the operators' configuration as VMs use it: routes, services, customers and limits.
package config

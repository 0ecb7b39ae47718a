// Package rate enforces customers' rate limits over all VMs, which hold shares of a customer's tokens and lend them to each other.
package rate

// Package rate enforces customers' rate limits over all VMs: each VM holds a share of the tokens and lends unused ones to others.
package rate

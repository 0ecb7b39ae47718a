// Package settings loads and validates the settings of a VM's process.
package settings

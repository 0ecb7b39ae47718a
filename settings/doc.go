// Package settings reads the settings of a VM's process.
package settings

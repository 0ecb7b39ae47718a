// Package chestnutcleat defines the ids, units, domain types and interfaces
// that the packages of the agent program scheduler share.
package chestnutcleat

// Package entry takes callers' requests on an entry VM from their arrival to their answer.
package entry

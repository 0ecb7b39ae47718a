// Package engine is a stand-in for a model engine with a prefix cache, for tests, the demo and load measurements. It can
// inject faults.
package engine

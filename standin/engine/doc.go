// Package engine is a stand-in model engine with fault injection, for tests, the demo and load measurements.
package engine

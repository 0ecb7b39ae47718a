// Package store is a stand-in for the object store of the platform: objects by kind and name, with revisions, conditional writes,
// watches, and a history that can be compacted.
package store

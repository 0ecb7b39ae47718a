// Package store is a stand-in of the users' platform store: objects by kind and name with revisions, conditional writes,
// watches and a history that can be dropped.
package store

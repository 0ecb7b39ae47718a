// Package object is the client of the object API that the product's own interface runs on. VMs on the users' platform use
// package platform in its place.
package object

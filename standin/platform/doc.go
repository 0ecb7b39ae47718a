// Package platform is a stand-in for the object API of the platform, with fault injection.
package platform

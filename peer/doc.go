// Package peer spreads a short summary of each VM to all others by datagrams.
package peer

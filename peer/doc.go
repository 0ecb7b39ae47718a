// Package peer spreads the state of each VM to all others by periodic datagrams, and detects VMs that are no longer heard.
//
// In a small fleet each VM sends its summary to all others. A larger fleet is divided into groups: a VM sends its summary to the
// relays of its group, which forward the summaries to the group and exchange digests with the relays of other groups.
package peer

// Package program is a stand-in for agent programs: clients that send turns and tool calls over HTTP and check each response.
package program

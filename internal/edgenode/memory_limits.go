package edgenode

import (
	"math"

	"opalhook/internal/discovery"
)

// connMemory is the memory of a client's connection without a request, in bytes: its goroutine, its buffers
// and its entry in the table.
const connMemory = 16 << 10

// requestMemory is the memory of a request in flight without its target and body, in bytes: its goroutines, its
// attempt and the connection to the app server.
const requestMemory = 16 << 10

// targetCopies is the number of copies of a request's target that are held while the request is in flight: as
// received, as a path and query without escapes, and in the message to the app server.
const targetCopies = 3

// fieldCopies is the number of copies of the other fields of a request that are held while it is in flight: as received,
// and in the message to the app server.
const fieldCopies = 2

// clientMemoryFraction is the part of the process's memory that client connections may occupy. The rest is for
// the endpoint list, the balancer, the connections to app servers and the garbage collector.
const clientMemoryFraction = 0.4

// headMemoryFraction is the part of the process's memory that costly heads of requests may occupy while net/http
// parses them.
const headMemoryFraction = 1.0 / 32

// waitingHeadFraction is the part of the process's memory that connections may occupy on which costly heads wait to be
// parsed. It is a part of clientMemoryFraction.
const waitingHeadFraction = 0.1

// responseMemoryFraction is the part of the process's memory that responses of app servers may occupy until
// they are written to the client.
const responseMemoryFraction = 0.125

// recentIDMemory is the memory of the id of a request that has ended, in bytes: its text and its entries.
const recentIDMemory = 256

// recentIDFraction is the part of the process's memory that ids of requests that have ended may occupy.
const recentIDFraction = 1.0 / 64

// minRecentIDs is the smallest limit on the number of these ids.
const minRecentIDs = 1024

// listMemory is the memory that a list of app servers needs for each byte of its text, in bytes: for its
// entries, the state of the app servers and their connections.
const listMemory = 24

// maxClientMemory returns the memory that client connections may occupy, in bytes. memoryMB is the memory that
// the process may use, in MiB; 0 means no limit.
func maxClientMemory(memoryMB int) int { return memoryPart(memoryMB, clientMemoryFraction) }

// maxHeadMemory returns the memory that costly heads of requests may occupy, in bytes. memoryMB is as in
// maxClientMemory.
func maxHeadMemory(memoryMB int) int { return memoryPart(memoryMB, headMemoryFraction) }

// maxWaitingHeads returns the memory that connections with waiting heads may occupy, in bytes. memoryMB is as in
// maxClientMemory.
func maxWaitingHeads(memoryMB int) int { return memoryPart(memoryMB, waitingHeadFraction) }

// maxResponseMemory returns the memory that responses of app servers may occupy, in bytes. memoryMB is as in
// maxClientMemory.
func maxResponseMemory(memoryMB int) int { return memoryPart(memoryMB, responseMemoryFraction) }

// maxRecentIDs returns the number of ids of requests that have ended that the node may remember. memoryMB is as in
// maxClientMemory.
func maxRecentIDs(memoryMB int) int {
	return max(memoryPart(memoryMB, recentIDFraction)/recentIDMemory, minRecentIDs)
}

// maxListMessage returns the size of the largest list that discovery may send, in bytes. A longer one would not
// fit into the memory of the process. memoryMB is as in maxClientMemory.
func maxListMessage(memoryMB int) int {
	return min(memoryPart(memoryMB, 1.0/listMemory), discovery.MaxStreamMessage)
}

// memoryPart returns a part of the memory of the process in bytes.
func memoryPart(memoryMB int, fraction float64) int {
	if memoryMB == 0 {
		return math.MaxInt
	}
	return int(fraction * float64(memoryMB) * (1 << 20))
}

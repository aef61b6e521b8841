package balancer

import "time"

// maxSuspectedRestarts is the number of failed connections that are remembered of an endpoint.
const maxSuspectedRestarts = 8

// restartEvidence remembers the failed connections that may be due to a restart of an endpoint's process,
// which the list reports only later. Connections fail at a process that is up as well: what shows that it
// was up withdraws the suspicion. The zero value suspects nothing.
type restartEvidence struct {
	latest          time.Duration   // latest suspected restart; 0: none
	suspected       []time.Duration // all of them, oldest first
	confirmingSince time.Duration   // when the health check under way was sent to see; 0: none is
}

// suspect records a connection that failed.
func (r *restartEvidence) suspect(now time.Duration) {
	if len(r.suspected) == maxSuspectedRestarts {
		r.suspected = r.suspected[:maxSuspectedRestarts-1]
	}
	r.suspected = append(r.suspected, now)
	r.latest = now
}

// confirmUpSince withdraws the suspicions from a time on, since which the process is known to be up.
func (r *restartEvidence) confirmUpSince(at time.Duration) {
	n := len(r.suspected)
	for n > 0 && r.suspected[n-1] >= at {
		n--
	}
	if n == len(r.suspected) {
		return
	}
	r.suspected = r.suspected[:n]
	if r.latest = 0; n > 0 {
		r.latest = r.suspected[n-1]
	}
}

// startConfirming notes that a health check is sent to see whether the process is up. It reports false
// where one is under way already.
func (r *restartEvidence) startConfirming(now time.Duration) bool {
	if r.confirmingSince != 0 {
		return false
	}
	r.confirmingSince = now
	return true
}

// confirm takes a response to a health check: one that was sent to see shows that the process has been up
// since.
func (r *restartEvidence) confirm() {
	if r.confirmingSince > 0 {
		r.confirmUpSince(r.confirmingSince)
	}
}

// stopConfirming notes that the health check has ended.
func (r *restartEvidence) stopConfirming() { r.confirmingSince = 0 }

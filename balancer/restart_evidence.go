package balancer

import "time"

// maxSuspectedRestarts is the maximum number of suspected restarts stored for an endpoint.
const maxSuspectedRestarts = 8

// restartEvidence stores the times of failed connections that may be due to a restart of the endpoint's
// process, which the list reports only later. Connections also fail while a process is up, so proof that it
// was up withdraws the suspicion. The zero value suspects nothing.
type restartEvidence struct {
	latest          time.Duration   // latest suspected restart; 0: none
	suspected       []time.Duration // suspected restarts, oldest first
	confirmingSince time.Duration   // send time of the pending confirming health check; 0: none
}

// suspect records a failed connection as a suspected restart. If maxSuspectedRestarts are already stored, it
// replaces the latest.
func (r *restartEvidence) suspect(now time.Duration) {
	if len(r.suspected) == maxSuspectedRestarts {
		r.suspected = r.suspected[:maxSuspectedRestarts-1]
	}
	r.suspected = append(r.suspected, now)
	r.latest = now
}

// confirmUpSince records that the process has been up since the given time, and withdraws the suspected
// restarts at or after it.
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

// startConfirming records that a health check is to be sent to confirm that the process is up. It returns
// false if one is pending already.
func (r *restartEvidence) startConfirming(now time.Duration) bool {
	if r.confirmingSince != 0 {
		return false
	}
	r.confirmingSince = now
	return true
}

// confirm records a response to a health check. If a confirming one is pending, the process has been up
// since that health check was sent.
func (r *restartEvidence) confirm() {
	if r.confirmingSince > 0 {
		r.confirmUpSince(r.confirmingSince)
	}
}

// stopConfirming records that the health check has ended, with or without a response.
func (r *restartEvidence) stopConfirming() { r.confirmingSince = 0 }

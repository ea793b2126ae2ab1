package receiver

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pimentorelay.example/pimento"
)

// Meter counts requests by how they ended.
type Meter struct {
	Set *metrics.Set
}

// Ended counts a request that was answered or refused.
func (m *Meter) Ended(outcome pimento.Outcome, reason pimento.Reason, started time.Time) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`relay_requests_total{outcome=%q,reason=%q}`, outcome, reason)).Inc()
	m.Set.GetOrCreateHistogram(fmt.Sprintf(`relay_request_duration_seconds{outcome=%q}`, outcome)).UpdateDuration(started)
}

// Cut counts an answer that broke off.
func (m *Meter) Cut() { m.Set.GetOrCreateCounter(`relay_answers_cut_total`).Inc() }

// Retried counts a try after the first.
func (m *Meter) Retried(reason pimento.Reason) {
	m.Set.GetOrCreateCounter(fmt.Sprintf(`relay_retries_total{reason=%q}`, reason)).Inc()
}

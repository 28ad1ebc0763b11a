package flowcontrol

const (
	// minModelSamples is the total weight of observations needed before a linearModel is
	// used.
	minModelSamples = 32
	// minModelFraction is the smallest expected value, relative to the mean of the
	// observations.
	minModelFraction = 0.2
	// minIndependence is the part of its variance that a variable must have independently
	// of the other one, so that the effects of both can be told apart.
	minIndependence = 1e-3
)

// linearModel learns how a positive value depends on two variables. It is a least-squares fit
// with exponential forgetting, in constant time and memory.
type linearModel struct {
	weight, x, z, y    float64
	xx, xz, zz, xy, zy float64
}

// observe adds a value.
func (m *linearModel) observe(x, z, y float64) {
	m.weight = m.weight*gapDecay + 1
	m.x = m.x*gapDecay + x
	m.z = m.z*gapDecay + z
	m.y = m.y*gapDecay + y
	m.xx = m.xx*gapDecay + x*x
	m.xz = m.xz*gapDecay + x*z
	m.zz = m.zz*gapDecay + z*z
	m.xy = m.xy*gapDecay + x*y
	m.zy = m.zy*gapDecay + z*y
}

// expected returns the expected value, or false if there are too few observations.
func (m *linearModel) expected(x, z float64) (float64, bool) {
	if m.weight < minModelSamples || m.y <= 0 {
		return 0, false
	}
	perX, perZ := m.slopes()
	mean := m.y / m.weight
	value := mean + perX*(x-m.x/m.weight) + perZ*(z-m.z/m.weight)
	return max(value, minModelFraction*mean), true
}

// slopes returns how the value grows with each variable. If they cannot be told apart, or
// one is negative, that with the larger effect counts alone.
func (m *linearModel) slopes() (perX, perZ float64) {
	w := m.weight
	xx, zz, xz := m.xx-m.x*m.x/w, m.zz-m.z*m.z/w, m.xz-m.x*m.z/w
	xy, zy := m.xy-m.x*m.y/w, m.zy-m.z*m.y/w
	if d := xx*zz - xz*xz; d > minIndependence*xx*zz {
		perX, perZ = (xy*zz-zy*xz)/d, (zy*xx-xy*xz)/d
		if perX >= 0 && perZ >= 0 {
			return perX, perZ
		}
	}
	switch {
	case xy > 0 && xx > 0 && xy*xy*zz >= zy*zy*xx:
		return xy / xx, 0
	case zy > 0 && zz > 0:
		return 0, zy / zz
	default:
		return 0, 0
	}
}

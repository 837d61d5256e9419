package config

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMechanismsAreOnUnlessNamed(t *testing.T) {
	s, err := ParseGateway(deployTemplate(t, nil))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Disabled.Names()), 0)
	assert.DeepEqual(t, DisabledMechanisms{Saves: true, Resting: true}.Names(), []string{"saves", "resting"})
}

func TestUnknownMechanismIsAFault(t *testing.T) {
	_, err := ParseGateway([]byte(`{"without": {"magic": true}}`))
	assert.ErrorContains(t, err, "without.magic")
}

// Package enginemodel simulates one inference engine with continuous batching, for
// replays and stand-in engines. It starts no goroutines and reads no clock; the time
// is passed as an argument, and equal calls give equal results.
package enginemodel

import (
	"fmt"
	"time"
)

// Settings are the parameters of an engine.
type Settings struct {
	// Blocks is the number of blocks of key-value memory.
	Blocks int
	// BlockTokens is the number of tokens per block.
	BlockTokens int
	// CacheBlocks bounds the blocks of the prefix cache, which are part of Blocks.
	CacheBlocks int
	// WatermarkBlocks is the number of blocks that admission leaves free.
	WatermarkBlocks int
	// MaxSequences bounds the sequences of one step.
	MaxSequences int
	// MaxPrefillTokens bounds the prompt tokens that one step processes.
	MaxPrefillTokens int
	// StepBase is the duration of a step without sequences.
	StepBase time.Duration
	// StepPerSequence is added for each sequence that decodes a token.
	StepPerSequence time.Duration
	// StepPerPrefillToken is added for each prompt token processed.
	StepPerPrefillToken time.Duration
	// LoadLag is the age of the state that a load report describes.
	LoadLag time.Duration
	// CacheEventLag is the time until a cache event is visible.
	CacheEventLag time.Duration
	// CacheEventLoss drops one of this many cache events on average; zero drops none.
	CacheEventLoss int
	// OrphanLifetime is how long a generation is kept without a reader.
	OrphanLifetime time.Duration
	// Seed selects which cache events are lost.
	Seed uint64
}

// DefaultSettings describe a mid-size model on one accelerator: 48,000 tokens of
// key-value memory, and 20 ms steps that grow to 40 ms with 32 sequences.
func DefaultSettings() Settings {
	return Settings{
		Blocks: 3000, BlockTokens: 16, CacheBlocks: 600, WatermarkBlocks: 30,
		MaxSequences: 128, MaxPrefillTokens: 2048,
		StepBase: 20 * time.Millisecond, StepPerSequence: 600 * time.Microsecond, StepPerPrefillToken: 60 * time.Microsecond,
		LoadLag: 500 * time.Millisecond, CacheEventLag: time.Second, CacheEventLoss: 50,
		OrphanLifetime: 30 * time.Second,
	}
}

// SettingError reports a setting out of range.
type SettingError struct {
	Name  string
	Value int
}

func (e *SettingError) Error() string {
	return fmt.Sprintf("engine setting %s is out of range: %d", e.Name, e.Value)
}

// Validate returns a *SettingError for the first setting out of range.
func (s Settings) Validate() error {
	for _, c := range []struct {
		name       string
		value, min int
	}{
		{"Blocks", s.Blocks, 1},
		{"BlockTokens", s.BlockTokens, 1},
		{"CacheBlocks", s.CacheBlocks, 0},
		{"WatermarkBlocks", s.WatermarkBlocks, 0},
		{"MaxSequences", s.MaxSequences, 1},
		{"MaxPrefillTokens", s.MaxPrefillTokens, 1},
		{"StepBase", int(s.StepBase), 1},
		{"StepPerSequence", int(s.StepPerSequence), 0},
		{"StepPerPrefillToken", int(s.StepPerPrefillToken), 0},
		{"CacheEventLoss", s.CacheEventLoss, 0},
	} {
		if c.value < c.min {
			return &SettingError{Name: c.name, Value: c.value}
		}
	}
	return nil
}

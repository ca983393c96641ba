use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Histories that questions refer to; each comes again and again.
const HISTORIES: usize = 64;
const WORDS: [&str; 8] = [
    "minibus",
    "kilometre",
    "engine",
    "wheel",
    "escort",
    "gate",
    "transfer",
    "dusk",
];
const MIN_QUESTION_WORDS: f64 = 8.0;
const MAX_QUESTION_WORDS: f64 = 62.0;
const MIN_HISTORY_WORDS: f64 = 40.0;
const MAX_HISTORY_WORDS: f64 = 1_200.0;
/// Shape of the Pareto distribution of sizes: a finite mean, a heavy tail.
const TAIL: f64 = 1.4;

/// Draws questions about a fixed set of histories, both of heavy-tailed size.
#[derive(Debug)]
pub(crate) struct TextSource {
    histories: Vec<String>,
}

/// A question and the history that it is about.
#[derive(Debug)]
pub(crate) struct DrawnText {
    pub(crate) question: String,
    pub(crate) history: String,
}

impl TextSource {
    pub(crate) fn new(random: &mut ChaCha8Rng) -> Self {
        let histories = (0..HISTORIES).map(|_| {
            let count = pareto(random, MIN_HISTORY_WORDS, MAX_HISTORY_WORDS);
            words(random, count)
        });
        Self {
            histories: histories.collect(),
        }
    }

    pub(crate) fn draw(&self, random: &mut ChaCha8Rng) -> DrawnText {
        let count = pareto(random, MIN_QUESTION_WORDS, MAX_QUESTION_WORDS);
        DrawnText {
            question: words(random, count),
            history: self.histories[random.random_range(0..HISTORIES)].clone(),
        }
    }
}

fn pareto(random: &mut ChaCha8Rng, least: f64, most: f64) -> usize {
    let uniform = 1.0 - random.random::<f64>();
    (least / uniform.powf(1.0 / TAIL)).min(most) as usize
}

fn words(random: &mut ChaCha8Rng, count: usize) -> String {
    let words = (0..count).map(|_| WORDS[random.random_range(0..WORDS.len())]);
    words.collect::<Vec<_>>().join(" ")
}

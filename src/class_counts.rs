//! Numbers of requests by class.

/// Numbers of requests by class. They are fractional where they are means or credit.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassCounts {
    by_class: Vec<f64>,
}

impl ClassCounts {
    /// The number of requests of one class.
    pub(crate) fn count_of(&self, class: usize) -> f64 {
        self.by_class.get(class).copied().unwrap_or(0.0)
    }

    /// The number of requests of all classes.
    pub(crate) fn total(&self) -> f64 {
        self.by_class.iter().sum()
    }

    /// Adds requests of one class.
    pub(crate) fn add(&mut self, class: usize, count: f64) {
        self.extend_to(class + 1);
        self.by_class[class] += count;
    }

    /// Adds the counts of `other`, multiplied by `factor`.
    pub(crate) fn add_scaled(&mut self, other: &ClassCounts, factor: f64) {
        self.extend_to(other.by_class.len());
        for (count, added) in self.by_class.iter_mut().zip(&other.by_class) {
            *count += factor * added;
        }
    }

    /// Moves the counts towards `target` by this share of the difference.
    pub(crate) fn move_towards(&mut self, target: &ClassCounts, gain: f64) {
        self.by_class.iter_mut().for_each(|count| *count *= 1.0 - gain);
        self.add_scaled(target, gain);
    }

    /// Caps the count of each class.
    pub(crate) fn cap_each(&mut self, max_count: f64) {
        self.by_class.iter_mut().for_each(|count| *count = count.min(max_count));
    }

    pub(crate) fn clear(&mut self) {
        self.by_class.fill(0.0);
    }

    fn extend_to(&mut self, classes: usize) {
        if self.by_class.len() < classes {
            self.by_class.resize(classes, 0.0);
        }
    }
}

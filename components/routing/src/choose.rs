//! Choice between candidate nodes.

units::value! {
    /// Distance of a candidate.
    pub enum Tier {
        /// In the same failure domain.
        Domain,
        /// In another failure domain of the same region.
        Region,
        /// In another region.
        Remote,
    }
}

/// Properties of one node that the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its distance.
    pub tier: Tier,
    /// Load as a share of its limit.
    pub score: f64,
    /// It is known to have no capacity.
    pub at_capacity: bool,
    /// It failed recently or is suspected to be dead.
    pub unhealthy: bool,
    /// An earlier attempt of the request was sent to it.
    pub attempted: bool,
}

/// Picks a candidate. `remote` is whether the byte budget allows another region; `random` draws an index below its
/// argument. One that was already attempted is picked only if there is no other, even if the others failed recently.
pub fn choose(
    candidates: &[Candidate],
    remote: bool,
    mut random: impl FnMut(usize) -> usize,
) -> Option<usize> {
    let not_attempted = |candidate: &Candidate| !candidate.attempted;
    choose_among(candidates, &not_attempted, remote, &mut random)
        .or_else(|| choose_among(candidates, &|_| true, remote, &mut random))
}

fn choose_among(
    candidates: &[Candidate],
    eligible: &impl Fn(&Candidate) -> bool,
    remote: bool,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let tiers = [Tier::Domain, Tier::Region, Tier::Remote];
    let allowed = |tier: Tier| tier != Tier::Remote || remote;
    let mut fallback = None;
    for unhealthy in [false, true] {
        for tier in tiers.into_iter().filter(|tier| allowed(*tier)) {
            let in_tier = |candidate: &Candidate| {
                candidate.tier == tier && candidate.unhealthy == unhealthy && eligible(candidate)
            };
            let Some(best) = best_of_two(candidates, &in_tier, random) else { continue };
            if !candidates[best].at_capacity {
                return Some(best);
            }
            let has_capacity = |candidate: &Candidate| in_tier(candidate) && !candidate.at_capacity;
            if let Some(best) = best_of_two(candidates, &has_capacity, random) {
                return Some(best);
            }
            fallback = fallback.or(Some(best));
        }
        if fallback.is_some() {
            return fallback;
        }
    }
    fallback
}

fn best_of_two(
    candidates: &[Candidate],
    eligible: &impl Fn(&Candidate) -> bool,
    random: &mut impl FnMut(usize) -> usize,
) -> Option<usize> {
    let count = candidates.iter().filter(|candidate| eligible(candidate)).count();
    if count == 0 {
        return None;
    }
    let nth = |n: usize| (0..candidates.len()).filter(|index| eligible(&candidates[*index])).nth(n);
    let first = nth(random(count))?;
    if count == 1 {
        return Some(first);
    }
    let second = nth(random(count))?;
    let better = candidates[second].score < candidates[first].score;
    Some(if better { second } else { first })
}
